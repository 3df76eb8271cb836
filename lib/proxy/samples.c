#include "proxy.h"

int
pos_cmp (pos_t a, pos_t b)
{
  if (a.term != b.term)
    return a.term < b.term ? -1 : 1;
  return a.number < b.number ? -1 : a.number > b.number;
}

static int
newest (const samples_t *m)
{
  return (m->next + SAMPLES_MAX - 1) % SAMPLES_MAX;
}

void
samples_add (samples_t *m, msec_t sent, pos_t pos)
{
  if (pos.term == 0)
    return;
  if (m->n)
    {
      int i = newest (m);
      if (pos.term < m->at[i].pos.term || sent < m->at[i].sent)
        return;
      if (pos.term > m->at[i].pos.term)
        m->n = 0;
      else if (sent - m->at[i].sent < SAMPLE_SPACING)
        return;
    }
  m->at[m->next].sent = sent;
  m->at[m->next].pos = pos;
  m->next = (m->next + 1) % SAMPLES_MAX;
  if (m->n < SAMPLES_MAX)
    m->n++;
}

bool
samples_required (const samples_t *m, msec_t began, msec_t max_age, pos_t own,
                  pos_t *need)
{
  for (int i = m->n; i > 0; i--)
    {
      int at = (m->next + SAMPLES_MAX - i) % SAMPLES_MAX;
      if (m->at[at].sent < began - max_age)
        continue;
      *need = pos_cmp (own, m->at[at].pos) > 0 ? own : m->at[at].pos;
      return true;
    }
  return false;
}

msec_t
samples_newest (const samples_t *m)
{
  return m->n ? m->at[newest (m)].sent : -1;
}
