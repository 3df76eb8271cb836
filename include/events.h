/* events - numbers of all log events.  Each library and program lists its own
   in an events.def file as EV (number, level, name, meaning); the level is
   that of syslog.  */

#ifndef EVENTS_H
#define EVENTS_H

typedef enum
{
#define EV(num, level, name, meaning) EV_##name = (num),
#include "../lib/base/events.def"
#include "../lib/rpc/events.def"
#include "../lib/conf/events.def"
#include "../lib/raft/events.def"
#include "../lib/control/events.def"
#include "../lib/pgwire/events.def"
#include "../lib/sql/events.def"
#include "../lib/entry/events.def"
#include "../lib/dblink/events.def"
#include "../lib/proxy/events.def"
#include "../lib/cell/events.def"
#include "../lib/httpd/events.def"
#include "../platform/events.def"
#include "../cmd/ppdbsim/events.def"
#include "../cmd/ppload/events.def"
#include "../cmd/pimentopost/events.def"
#undef EV
} event_t;

#endif
