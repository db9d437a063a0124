/*
 * Runs the kernel in virtual time through a script of events and writes all
 * its actions as text.  Targets and the claim store are simulated: the rules
 * of the script say how they answer.
 *
 * A script line is a comment (#), "seed N", or "at MS" followed by one of
 *   targets SERVICE ADDR/DOMAIN[=leaving] ...   the complete host list, with
 *                                              "+" between services
 *   target PREFIX [latency=MS] [gap=MS] [tokens=N] [mode=MODE] [cut=N]
 *                 [times=N]                    how targets with this
 *                                              address prefix answer
 *   claims RESULT [delay=MS] [times=N] [outcome=O] [answer=JSON]
 *                                              how claims are decided
 *   refusals RESULT [delay=MS] [times=N]       how refusals are decided
 *   arrive NAME ws=W pipe=P [key=K] [attempt=N] [timeout=MS] [wall=S]
 *                 [stream=yes] [count=N every=MS] body=JSON
 *   gone NAME | claim NAME RESULT | load ADDR N [leaving=yes] | drain
 *   conf FILE | end CALL | fail CALL | stop
 * MODE is ok, fail (the call breaks), refuse (no connection), silent (no
 * answer), busy or leaving (status 503 with this error), foreign (another
 * call's id), error (status 500), cut (the stream breaks after cut=N tokens) or
 * absent (status 404).
 *
 * "gone" disconnects the caller of a request; "claim" delivers a decision on
 * its claim; "load" reports a target's load; "end" and "fail" are events of a
 * call by its number.  A rule with times=N applies N times; the last rule that
 * matches applies.  With count=N, N requests arrive.  Requests whose name
 * starts with "~" are left out of the text.
 */
#ifndef TESTS_SESSION_H
#define TESTS_SESSION_H

#include "base/str.h"

/* Runs the script in file and appends the text of all actions to out. */
void session_run(const char *file, struct buf *out);

#endif
