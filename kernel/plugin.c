#include "kernel/plugin.h"

static const struct stage_ops *stages;
static const struct balance_ops *balances;

void
plugin_register_stage(struct stage_ops *ops)
{
	ops->next = stages;
	stages = ops;
}

const struct stage_ops *
plugin_find_stage(struct str name)
{
	for (const struct stage_ops *o = stages; o != NULL; o = o->next) {
		if (str_eq(str_from(o->name), name))
			return o;
	}
	return NULL;
}

const struct stage_ops *
plugin_first_stage(void)
{
	return stages;
}

void
plugin_register_balance(struct balance_ops *ops)
{
	ops->next = balances;
	balances = ops;
}

const struct balance_ops *
plugin_find_balance(struct str name)
{
	for (const struct balance_ops *o = balances; o != NULL; o = o->next) {
		if (str_eq(str_from(o->name), name))
			return o;
	}
	return NULL;
}

const struct balance_ops *
plugin_first_balance(void)
{
	return balances;
}
