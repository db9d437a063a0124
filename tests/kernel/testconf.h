/* Reads configurations of tests. */
#ifndef TESTS_TESTCONF_H
#define TESTS_TESTCONF_H

#include "kernel/conf.h"

/* Reads one file; an error ends the test.  The caller owns the result. */
struct conf *testconf_read(const char *path);

#endif
