/* Reports of several runs as a table in Markdown. */
#ifndef LOAD_TABLE_H
#define LOAD_TABLE_H

#include <stdio.h>

/*
 * A row for each deployment, scenario and variant in the order of the files
 * (which end with NULL); a cell is the median over the seeds and, in
 * brackets, the lowest and the highest.
 */
void table_print(char *const *files, FILE *out);

#endif
