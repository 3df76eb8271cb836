#include "soak.h"

#include <signal.h>
#include <stdint.h>
#include <ucontext.h>
#include <unistd.h>

/* A crash of this program is a finding too.  The handler uses nothing that is
   unsafe in one: it writes numbers, and the addresses on the stack tell who
   called whom ("addr2line -e soak", with crash_watch as the base).  */

enum
{
  STACK_WORDS = 96,
  HEX_DIGITS = 16
};

static void
put (str_t what, uintptr_t value)
{
  char digits[HEX_DIGITS + 1];

  for (int i = 0; i < HEX_DIGITS; i++)
    digits[i] = "0123456789abcdef"[value >> 4 * (HEX_DIGITS - 1 - i) & 15];
  digits[HEX_DIGITS] = '\n';
  if (write (STDERR_FILENO, what.p, what.n) < 0
      || write (STDERR_FILENO, digits, sizeof digits) < 0)
    return;
}

static void
on_crash (int sig, siginfo_t *info, void *context)
{
  const ucontext_t *u = context;
  uintptr_t stack = 0;

  put (STR ("crash: signal "), (uintptr_t)sig);
  put (STR ("fault "), (uintptr_t)info->si_addr);
  put (STR ("crash_watch "), (uintptr_t)crash_watch);
#ifdef __x86_64__
  put (STR ("at "), (uintptr_t)u->uc_mcontext.gregs[REG_RIP]);
  stack = (uintptr_t)u->uc_mcontext.gregs[REG_RSP];
#else
  (void)u;
#endif
  for (int i = 0; stack && i < STACK_WORDS; i++)
    put (STR ("stack "), ((const uintptr_t *)stack)[i]);
}

void
crash_watch (void)
{
  /* The default action follows: the instruction is run again.  */
  struct sigaction sa
      = { .sa_sigaction = on_crash, .sa_flags = SA_SIGINFO | SA_RESETHAND };

  sigaction (SIGSEGV, &sa, NULL);
  sigaction (SIGBUS, &sa, NULL);
  sigaction (SIGFPE, &sa, NULL);
}
