/* Compile-time bounds of the kernel. */
#ifndef KERNEL_BOUNDS_H
#define KERNEL_BOUNDS_H

#define MAX_STAGES             6
#define MIN_STAGES             1
#define MAX_BODY_BYTES         (1024 * 1024)
#define MAX_NAME_BYTES         48
#define MAX_ADDR_BYTES         48
#define MAX_KEY_BYTES          36 /* a UUID as text */
#define MAX_CALLS_PER_REQ      4
#define MAX_TRACE_ENTRIES      64
#define MAX_FLEET_TARGETS      65536
#define MAX_CLAIM_ANSWER_BYTES 512
#define MAX_ANSWER_BYTES       (8 * 1024 * 1024)
#define DEFAULT_TICK_USEC      5000

#endif
