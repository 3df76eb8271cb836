#include "soak.h"

#include <signal.h>
#include <stdint.h>
#include <ucontext.h>
#include <unistd.h>

/* Reports a crash of the soak itself.  The handler calls only functions that
   are async-signal-safe: it prints the fault address and words of the stack as
   numbers.  "addr2line -e soak" resolves them, relative to the printed address
   of crash_handlers.  */

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
  put (STR ("crash_handlers "), (uintptr_t)crash_handlers);
#ifdef __x86_64__
  put (STR ("at "), (uintptr_t)u->uc_mcontext.gregs[REG_RIP]);
  stack = (uintptr_t)u->uc_mcontext.gregs[REG_RSP];
#elif defined __aarch64__
  put (STR ("at "), (uintptr_t)u->uc_mcontext.pc);
  stack = (uintptr_t)u->uc_mcontext.sp;
#else
  (void)u;
#endif
  for (int i = 0; stack && i < STACK_WORDS; i++)
    put (STR ("stack "), ((const uintptr_t *)stack)[i]);
}

void
crash_handlers (void)
{
  /* The faulting instruction runs again, now with the default action.  */
  struct sigaction sa
      = { .sa_sigaction = on_crash, .sa_flags = SA_SIGINFO | SA_RESETHAND };

  sigaction (SIGSEGV, &sa, NULL);
  sigaction (SIGBUS, &sa, NULL);
  sigaction (SIGFPE, &sa, NULL);
}
