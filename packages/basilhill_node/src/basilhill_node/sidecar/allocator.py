"""Setting of the C library's allocator, so that the memory of ended messages is returned."""

import ctypes

# Parameter of mallopt (malloc.h) for the size from which an allocation has its own mapping.
M_MMAP_THRESHOLD = -3
# Without a fixed threshold, glibc raises it to the size of the largest freed block, up to 32 MB.
# Later bodies then lie on the heap, which keeps what lies below any living block.
MAPPED_BYTES = 64 << 10


def return_large_blocks() -> bool:
    """Let large blocks have mappings of their own; return whether the C library supports it."""
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (AttributeError, OSError):
        return False
    return bool(mallopt(M_MMAP_THRESHOLD, MAPPED_BYTES))
