#include "tool.h"

#include <stdio.h>
#include <string.h>
#include <time.h>
#include <yaml.h>

enum
{
  MAX_COLUMNS = 24
};

/* Consecutive rows with the same first key, from FIRST up to END, which are
   printed under one header.  */
typedef struct
{
  yaml_document_t *doc;
  yaml_node_item_t *first;
  yaml_node_item_t *end;
  size_t n;                  /* columns */
  size_t width[MAX_COLUMNS]; /* bytes */
} section_t;

static const yaml_node_t *
row_at (const section_t *p, const yaml_node_item_t *i)
{
  return yaml_document_get_node (p->doc, *i);
}

static size_t
column_count (const yaml_node_t *row)
{
  size_t n
      = (size_t)(row->data.mapping.pairs.top - row->data.mapping.pairs.start);

  return n < MAX_COLUMNS ? n : MAX_COLUMNS;
}

static const char *
scalar (yaml_document_t *d, int id)
{
  const yaml_node_t *n = yaml_document_get_node (d, id);

  return n && n->type == YAML_SCALAR_NODE ? (const char *)n->data.scalar.value
                                          : "";
}

static const char *
key_of (const section_t *p, const yaml_node_t *row, size_t c)
{
  return scalar (p->doc, row->data.mapping.pairs.start[c].key);
}

/* Column C of ROW: wall-clock times as dates, an empty value as a dash.  */
static const char *
value_of (const section_t *p, const yaml_node_t *row, size_t c, char buf[32])
{
  const char *v = scalar (p->doc, row->data.mapping.pairs.start[c].value);
  int64_t ms;
  struct tm tm;

  if (strcmp (key_of (p, row, c), "wall") == 0 && str_int (str_of (v), &ms))
    {
      time_t sec = ms / 1000;
      gmtime_r (&sec, &tm);
      size_t n = strftime (buf, 32, "%Y-%m-%dT%H:%M:%S", &tm);
      snprintf (buf + n, 32 - n, ".%03dZ", (int)(ms % 1000));
      return buf;
    }
  return *v ? v : "-";
}

static void
measure_columns (section_t *p)
{
  char buf[32];

  p->n = column_count (row_at (p, p->first));
  for (size_t c = 0; c < p->n; c++)
    p->width[c] = strlen (key_of (p, row_at (p, p->first), c));
  for (yaml_node_item_t *i = p->first; i < p->end; i++)
    for (size_t c = 0; c < p->n && c < column_count (row_at (p, i)); c++)
      {
        size_t w = strlen (value_of (p, row_at (p, i), c, buf));
        if (w > p->width[c])
          p->width[c] = w;
      }
}

static void
print_cell (const section_t *p, size_t c, const char *text, bool last)
{
  if (last)
    printf ("%s\n", text);
  else
    printf ("%-*s  ", (int)p->width[c], text);
}

static void
print_section (section_t *p, bool more)
{
  char buf[32];

  measure_columns (p);
  for (size_t c = 0; c < p->n; c++)
    print_cell (p, c, key_of (p, row_at (p, p->first), c), c + 1 == p->n);
  for (yaml_node_item_t *i = p->first; i < p->end; i++)
    {
      const yaml_node_t *row = row_at (p, i);
      size_t n = column_count (row) < p->n ? column_count (row) : p->n;
      for (size_t c = 0; c < n; c++)
        print_cell (p, c, value_of (p, row, c, buf), c + 1 == n);
    }
  if (more)
    putchar ('\n');
}

/* Whether D is an array of objects that each have at least one key.  */
static bool
is_rows (yaml_document_t *d)
{
  const yaml_node_t *root = yaml_document_get_root_node (d);

  if (root == NULL || root->type != YAML_SEQUENCE_NODE)
    return false;
  for (yaml_node_item_t *i = root->data.sequence.items.start;
       i < root->data.sequence.items.top; i++)
    {
      const yaml_node_t *row = yaml_document_get_node (d, *i);
      if (row == NULL || row->type != YAML_MAPPING_NODE
          || column_count (row) == 0)
        return false;
    }
  return true;
}

static void
print_rows (yaml_document_t *d)
{
  const yaml_node_t *root = yaml_document_get_root_node (d);
  yaml_node_item_t *top = root->data.sequence.items.top;
  section_t p = { .doc = d, .first = root->data.sequence.items.start };

  while (p.first < top)
    {
      const char *key = key_of (&p, row_at (&p, p.first), 0);
      p.end = p.first;
      while (p.end < top
             && strcmp (key_of (&p, row_at (&p, p.end), 0), key) == 0)
        p.end++;
      print_section (&p, p.end < top);
      p.first = p.end;
    }
}

bool
print_table (str_t json)
{
  yaml_parser_t y;
  yaml_document_t d;
  bool ok = false;

  if (!yaml_parser_initialize (&y))
    return false;
  yaml_parser_set_input_string (
      &y, (const unsigned char *)(json.p ? json.p : ""), json.n);
  if (yaml_parser_load (&y, &d))
    {
      ok = is_rows (&d);
      if (ok)
        print_rows (&d);
      yaml_document_delete (&d);
    }
  yaml_parser_delete (&y);
  return ok;
}
