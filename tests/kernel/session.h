/*
 * Whole sessions of the kernel in virtual time: a script of events goes in,
 * a text of all actions comes out.  Targets and the claim store are played by
 * rules of the script.
 *
 * A script line is a comment (#), "conf FILE", "seed N" or "at MS" and one of
 *   targets SERVICE ADDR/DOMAIN[=leaving] ...   the whole host list, with "+"
 *                                              between services
 *   target PREFIX [latency=MS] [gap=MS] [tokens=N] [mode=MODE] [cut=N]
 *                 [times=N]                    how matching targets answer
 *   claims RESULT [delay=MS] [times=N] [outcome=O] [answer=JSON]
 *   refusals RESULT [delay=MS] [times=N]
 *   arrive NAME ws=W pipe=P [key=K] [attempt=N] [timeout=MS] [wall=S]
 *                 [stream=yes] [count=N every=MS] body=JSON
 *   gone NAME | claim NAME RESULT | load ADDR N [leaving=yes] | drain
 *   conf FILE | end CALL | fail CALL | stop
 * Requests whose name starts with "~" leave no text; with count there are
 * several.  Modes: ok, fail, refuse, silent, busy, leaving, foreign, error,
 * cut, absent.
 */
#ifndef TESTS_SESSION_H
#define TESTS_SESSION_H

#include "base/str.h"

/* Plays the script of a file; what happened is appended to out. */
void session_run(const char *file, struct buf *out);

#endif
