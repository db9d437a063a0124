/* The configuration of a test. */
#ifndef TESTS_TESTCONF_H
#define TESTS_TESTCONF_H

#include "kernel/conf.h"

/* Reads one file; what is wrong with it ends the test.  Owned. */
struct conf *testconf_read(const char *path);

#endif
