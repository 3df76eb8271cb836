/* scan - checks the lengths in a msgpack value before it is unpacked.  */

#ifndef SCAN_H
#define SCAN_H

#include "base.h"

/* rpc_scan: BODY is one msgpack value made of the types that messages use,
   nested at most RPC_DEPTH deep, whose announced lengths fit into BODY.
   msgpack_unpack_next allocates what an array header announces, so that six
   bytes could ask for 128 GiB.  */
enum
{
  RPC_DEPTH = 8
};
bool rpc_scan (str_t body);

#endif
