"""The operators command of basilhill."""
