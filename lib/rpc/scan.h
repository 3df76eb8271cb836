/* scan - checks the lengths inside a msgpack value before it is unpacked.  */

#ifndef SCAN_H
#define SCAN_H

#include "base.h"

enum
{
  RPC_DEPTH = 8,       /* nested arrays */
  RPC_VALUES = 1 << 20 /* values of a frame: each takes 24 bytes when it is
                          unpacked, so that a frame of one-byte values would
                          take many times its size */
};

/* rpc_scan: true if BODY is exactly one msgpack value of the types that
   messages use, nested at most RPC_DEPTH deep, whose lengths fit into BODY.
   msgpack_unpack_next allocates the length in an array header before it reads
   the elements: six bytes could make it allocate 128 GiB.  */
bool rpc_scan (str_t body);

#endif
