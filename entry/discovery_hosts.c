/* Reads and writes the list of the fleet's hosts (kernel/host_list.h). */
#include "base/log.h"
#include "entry/discovery_state.h"

void
discovery_read_hosts(struct discovery *d, struct str text)
{
	struct host_list_counts n =
	    host_list_read(fleet_members(d->fleet), text, clock_now());

	host_list_stored(&d->hosts, text);
	if (n.learned > 0 || !d->hosts_listed)
		d->view_dirty = true;
	d->hosts_listed = true;
	if (n.learned > 0 || n.malformed > 0)
		log_text(n.malformed > 0 ? LOG_LVL_WARNING : LOG_LVL_INFO,
		    "hosts-learned",
		    "%u hosts from the list in the store, %u malformed lines",
		    n.learned, n.malformed);
}

static void
on_hosts_written(void *arg, const struct kv_result *r)
{
	struct discovery *d = arg;

	host_list_written(&d->hosts, r->status == KV_OK);
	if (r->status != KV_OK)
		log_text(LOG_LVL_NOTICE, "hosts-not-written",
		    "the write of the list of hosts is repeated");
}

void
discovery_write_hosts(struct discovery *d, usec_t now)
{
	struct buf text = { 0 };

	if (!host_list_check_due(&d->hosts, now))
		return;
	if (!d->store_unavailable && watcher_revision(d->watcher) != 0 &&
	    discovery_is_first_feeder(d) &&
	    host_list_due(&d->hosts, fleet_members(d->fleet), now, &text)) {
		kv_put_item(
		    d->kv, STR(HOSTS_KEY), str_of(&text), on_hosts_written, d);
		log_text(LOG_LVL_INFO, "hosts-written",
		    "list of the fleet's hosts, %zu bytes", text.n);
	}
	buf_free(&text);
}
