#include "worker.h"

#include <stdlib.h>
#include <string.h>

static props_t *
props (session_t *s)
{
  if (s->props == NULL)
    {
      s->props = calloc (1, sizeof *s->props);
      if (s->props == NULL)
        abort ();
      hint_init (&s->props->hint);
    }
  return s->props;
}

void
props_free (session_t *s)
{
  if (s->props == NULL)
    return;
  free (s->props->kind);
  free (s->props->key);
  free (s->props);
  s->props = NULL;
}

void
props_reset (session_t *s)
{
  props_free (s);
}

/* hint_set stores a view of its value; the session keeps a copy in SLOT.  */
static void
keep_copy (char **slot, str_t *view)
{
  char *copy = view->n ? strndup (view->p, view->n) : NULL;

  free (*slot);
  *slot = copy;
  *view = str_of (copy);
}

static void
set_default (props_t *p, str_t name)
{
  hint_t none;

  hint_init (&none);
  if (str_eq (name, STR ("kind")))
    p->hint.kind = none.kind;
  else if (str_eq (name, STR ("key")))
    p->hint.key = none.key;
  else if (str_eq (name, STR ("max_age")))
    p->hint.max_age = none.max_age;
  else if (str_eq (name, STR ("deadline")))
    p->hint.deadline = none.deadline;
  else if (str_eq (name, STR ("worth")))
    p->hint.worth = none.worth;
  else if (str_eq (name, STR ("repeatable")))
    p->hint.repeatable = none.repeatable;
}

static bool
set_token (session_t *s, str_t value, bool defaulted, err_t *e)
{
  token_t t = { 0 };

  if (!defaulted && value.n && !token_parse (value, &t, e))
    return false;
  s->token = t;
  return true;
}

bool
props_set (session_t *s, str_t name, str_t value, bool defaulted, err_t *e)
{
  if (str_eq (name, STR ("token")))
    return set_token (s, value, defaulted, e);
  props_t *p = props (s);
  if (defaulted)
    {
      set_default (p, name);
      return true;
    }
  hint_t h = p->hint;
  if (!hint_set (&h, name, value, e))
    return false;
  if (str_eq (name, STR ("kind")))
    {
      const worker_t *w = s->w;
      if (value.n && w->cfg && config_kind (w->cfg, value) == NULL)
        return err_set (e, ERR_REFERENCE, "kind", "unknown kind " STR_FMT,
                        STR_ARG (value));
      keep_copy (&p->kind, &h.kind);
    }
  if (str_eq (name, STR ("key")))
    keep_copy (&p->key, &h.key);
  p->hint = h;
  return true;
}

static void
show_number (buf_t *out, int64_t v)
{
  if (v >= 0)
    buf_fmt (out, "%lld", (long long)v);
}

bool
props_show (session_t *s, str_t name, buf_t *out)
{
  hint_t none;
  char text[48];

  hint_init (&none);
  const hint_t *h = s->props ? &s->props->hint : &none;
  if (str_eq (name, STR ("token")))
    buf_add (out, text, s->token.term ? token_format (s->token, text) : 0);
  else if (str_eq (name, STR ("kind")))
    buf_adds (out, h->kind);
  else if (str_eq (name, STR ("key")))
    buf_adds (out, h->key);
  else if (str_eq (name, STR ("max_age")))
    show_number (out, h->max_age);
  else if (str_eq (name, STR ("deadline")))
    show_number (out, h->deadline);
  else if (str_eq (name, STR ("worth")))
    show_number (out, h->worth);
  else if (str_eq (name, STR ("repeatable")))
    buf_adds (out, h->repeatable < 0    ? STR ("")
                   : h->repeatable == 1 ? STR ("true")
                                        : STR ("false"));
  else
    return false;
  return true;
}

static bool
refuse (req_t *r, const char *why)
{
  r->plan
      = (plan_t){ .kind = PLAN_REFUSE, .refusal = PG_BAD_SETTING, .why = why };
  return false;
}

static void
apply (req_t *r, const hint_t *h, const cfg_kind_t *k)
{
  msec_t deadline = h->deadline >= 0 ? h->deadline
                    : k              ? k->deadline
                                     : DEADLINE_DEFAULT;

  r->deadline = r->arrived + deadline;
  r->max_age = h->max_age >= 0 ? h->max_age : k ? k->max_age : -1;
  r->worth = h->worth >= 0 ? (double)h->worth : k ? k->worth : 1;
  r->repeatable = h->repeatable >= 0 ? h->repeatable == 1
                  : k                ? k->repeatable
                                     : false;
  r->key_len = h->key.n < sizeof r->key ? h->key.n : 0;
  if (r->key_len)
    memcpy (r->key, h->key.p, r->key_len);
}

bool
props_request (req_t *r, str_t text)
{
  session_t *s = r->s;
  const cfg_kind_t *k = NULL;
  hint_t h;
  err_t e = { 0 };

  hint_init (&h);
  if (!hint_parse (text, &h, &e))
    return refuse (r, "the hint comment is not valid");
  if (s->props)
    hint_merge (&h, &s->props->hint);
  if (h.kind.n)
    {
      k = s->w->cfg ? config_kind (s->w->cfg, h.kind) : NULL;
      if (k == NULL)
        return refuse (r, "unknown kind");
    }
  apply (r, &h, k);
  if (k && k->key && k->effect == EFFECT_WRITE && r->key_len == 0
      && s->block == BLOCK_NONE)
    return refuse (r, "the kind needs a key");
  return true;
}
