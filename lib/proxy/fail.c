#include "proxy.h"

const char *
fail_name (fail_t f)
{
  static const char *const name[] = { "none",
                                      "busy",
                                      "aborted",
                                      "lagging",
                                      "read-only",
                                      "misrouted",
                                      "too-many",
                                      "in-doubt",
                                      "timeout",
                                      "failed",
                                      "unknown-statement",
                                      "malformed",
                                      "unknown-database",
                                      "unknown-key",
                                      "other" };

  return name[f];
}
