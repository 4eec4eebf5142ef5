"""The adapter to the users' platform, which translates and decides nothing."""
