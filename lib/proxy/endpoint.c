#include "local.h"

#include <stdlib.h>
#include <string.h>

/* The other instances of the availability zone, as control lists them, and the
   owners of each service's connections among them.  */

enum
{
  ENDPOINTS_TIMEOUT = 1500, /* ms from the start to wait for the endpoints */
  /* ms from the start that statements of tenants wait for the endpoints.
     Measured after a loss of power of all: 0.7 to 0.9 s.  */
  OWNERS_WAIT = 1200,
  OWNER_BACKOFF = 2000 /* ms that an owner is avoided after a failure; control
                          removes a failed one after 1.5 s */
};

bool
service_has_owners (const proxy_t *p, const service_t *v)
{
  return p->nendpoint > 1 && owners_needed (v->connections, p->entries);
}

bool
endpoint_offered (const proxy_t *p)
{
  if (p->conf.peers.n == 0 || p->setup == NULL || p->stop_at >= 0
      || p->cut_off_at >= 0)
    return false;
  if (p->has_quotas)
    return true;
  for (const service_t *v = p->services; v; v = v->next)
    if (owners_needed (v->connections, p->entries))
      return true;
  return false;
}

/* Whether V is one of the services that owners are picked for together.  The
   instances of a zone have to agree on them, so only those of the
   configuration count.  */
static bool
is_assigned (const proxy_t *p, const service_t *v)
{
  return p->setup && v->setup_version == p->setup->version
         && owners_needed (v->connections, p->entries);
}

static void
set_owners (proxy_t *p, service_t *v, const owner_role_t *r)
{
  v->nowner = r->n;
  v->is_owner = false;
  /* The instances of a zone begin with different owners.  */
  v->next_owner = (int)(str_hash (p->conf.peers) % OWNERS_MAX);
  for (int i = 0; i < r->n; i++)
    {
      v->owner[i] = r->owner[i];
      v->is_owner
          |= str_eq (str_of (p->endpoint[r->owner[i]].address), p->conf.peers);
    }
}

/* Picks the owners of all services; those of V alone if the configuration
   doesn't contain it.  */
static void
update_owners (proxy_t *p, service_t *v)
{
  str_t *address = calloc (p->nendpoint + 1, sizeof *address);
  int near = (int)p->nendpoint, n = 0, assigned = 0;

  for (const service_t *x = p->services; x; x = x->next)
    {
      n++;
      assigned += is_assigned (p, x);
    }
  owner_role_t *role = calloc ((size_t)n + 1, sizeof *role);
  if (address == NULL || role == NULL)
    abort ();
  for (size_t i = 0; i < p->nendpoint; i++)
    address[i] = str_of (p->endpoint[i].address);
  n = 0;
  for (service_t *x = p->services; x; x = x->next)
    if (is_assigned (p, v) ? is_assigned (p, x) : x == v)
      role[n++] = (owner_role_t){
        .service = x->name,
        .want = owners_spread (x->connections, p->entries, near,
                               is_assigned (p, v) ? assigned : 0),
      };
  owners_assign (role, n, address, near);
  n = 0;
  for (service_t *x = p->services; x; x = x->next)
    if (is_assigned (p, v) ? is_assigned (p, x) : x == v)
      {
        set_owners (p, x, &role[n++]);
        x->owners_version = p->endpoints_version;
      }
  free (role);
  free (address);
}

bool
service_owners_pending (const proxy_t *p, const service_t *v)
{
  return p->conf.peers.n && p->nendpoint < 2
         && p->now - p->started < ENDPOINTS_TIMEOUT
         && owners_needed (v->connections, p->entries);
}

bool
owners_awaited (proxy_t *p)
{
  return p->setup && p->setup->tenanted && p->conf.peers.n && p->stop_at < 0
         && p->now - p->started < OWNERS_WAIT && p->nendpoint < 2;
}

bool
service_may_connect (proxy_t *p, service_t *v)
{
  if (!service_has_owners (p, v))
    {
      /* The owners known are of an earlier list of endpoints.  */
      v->nowner = 0;
      v->owners_version = -1;
      return true;
    }
  if (v->owners_version != p->endpoints_version)
    update_owners (p, v);
  return v->is_owner;
}

int
service_sharers (proxy_t *p, service_t *v)
{
  int entries = p->entries > 0 ? p->entries : ENTRIES_DEFAULT;

  if (!service_has_owners (p, v))
    return entries;
  service_may_connect (p, v);
  int n = v->nowner * entries / (int)p->nendpoint;
  return n > 0 ? n : 1;
}

bool
endpoint_is_own (const proxy_t *p, const endpoint_entry_t *x)
{
  return str_eq (str_of (x->address), p->conf.peers);
}

/* The first owner that isn't avoided in the order of T, by rendezvous hashing:
   the tenants of an owner that is lost are divided among the others, and no
   other tenant moves.  */
static endpoint_entry_t *
pick_for_tenant (proxy_t *p, service_t *v, const tenant_t *t)
{
  str_t address[OWNERS_MAX];
  endpoint_entry_t *at[OWNERS_MAX] = { NULL };
  int n = 0, first;

  for (int i = 0; i < v->nowner; i++)
    {
      endpoint_entry_t *x = &p->endpoint[v->owner[i]];
      if (x->avoid_until > p->now && !endpoint_is_own (p, x))
        continue;
      at[n] = x;
      address[n++] = str_of (x->address);
    }
  return owners_pick (t->name, address, n, 1, &first) ? at[first] : NULL;
}

endpoint_entry_t *
endpoint_pick_owner (proxy_t *p, service_t *v, const tenant_t *t)
{
  if (t)
    return pick_for_tenant (p, v, t);
  for (int i = 0; i < v->nowner; i++)
    {
      int at = v->owner[(v->next_owner + i) % v->nowner];
      endpoint_entry_t *x = &p->endpoint[at];
      if (x->avoid_until > p->now)
        continue;
      v->next_owner += i + 1;
      return x;
    }
  return NULL;
}

void
endpoint_avoid (proxy_t *p, const char *address)
{
  for (size_t i = 0; i < p->nendpoint; i++)
    if (strcmp (p->endpoint[i].address, address) == 0)
      p->endpoint[i].avoid_until = p->now + OWNER_BACKOFF;
}

static int
endpoint_index (const proxy_t *p, str_t address)
{
  for (size_t i = 0; i < p->nendpoint; i++)
    if (str_eq (str_of (p->endpoint[i].address), address))
      return (int)i;
  return -1;
}

static endpoint_entry_t *
endpoints_new (size_t n)
{
  endpoint_entry_t *v = calloc (n + 1, sizeof *v);

  if (v == NULL)
    abort ();
  return v;
}

static void
endpoints_replace (proxy_t *p, endpoint_entry_t *v, size_t n)
{
  free (p->endpoint);
  p->endpoint = v;
  p->nendpoint = n;
  p->endpoints_version++;
}

/* Only an address; another text would be sent no statements for long.  */
static bool
endpoint_usable (str_t address)
{
  err_t e = { 0 };
  char line[256];

  if (address_check (address, "endpoint", &e))
    return true;
  err_line (&e, line, sizeof line);
  log_event (EV_ENDPOINT_REFUSED, "cause=%s", line);
  return false;
}

static void
endpoints_set (proxy_t *p, const list_t *list)
{
  endpoint_entry_t *v = endpoints_new (list->n);
  size_t n = 0;

  for (size_t i = 0; i < list->n; i++)
    {
      str_t a = LIST_AT (*list, endpoint_t, i)->address;
      int at = endpoint_index (p, a);
      if (!endpoint_usable (a))
        continue;
      str_copy (v[n].address, sizeof v->address, a);
      if (at >= 0)
        v[n].avoid_until = p->endpoint[at].avoid_until;
      n++;
    }
  endpoints_replace (p, v, n);
}

static void
endpoints_change (proxy_t *p, const list_t *list)
{
  size_t n = p->nendpoint;
  endpoint_entry_t *v = endpoints_new (n + list->n);
  bool changed = false;

  if (n)
    memcpy (v, p->endpoint, n * sizeof *v);
  for (size_t i = 0; i < list->n; i++)
    {
      const endpoint_t *x = LIST_AT (*list, endpoint_t, i);
      int at = endpoint_index (p, x->address);
      if (x->gone == (at < 0) || !endpoint_usable (x->address))
        continue;
      changed = true;
      if (x->gone)
        v[at].address[0] = '\0';
      else
        str_copy (v[n++].address, sizeof v->address, x->address);
    }
  if (!changed)
    {
      free (v);
      return;
    }
  size_t kept = 0;
  for (size_t i = 0; i < n; i++)
    if (v[i].address[0])
      v[kept++] = v[i];
  endpoints_replace (p, v, kept);
}

void
endpoints_update (proxy_t *p, const watch_update_t *n)
{
  if (!n->has_endpoints)
    return;
  if (n->endpoint_changes)
    endpoints_change (p, &n->endpoints);
  else
    endpoints_set (p, &n->endpoints);
}

bool
endpoint_listed (const proxy_t *p, const char *address)
{
  for (size_t i = 0; i < p->nendpoint; i++)
    if (strcmp (p->endpoint[i].address, address) == 0)
      return true;
  return false;
}
