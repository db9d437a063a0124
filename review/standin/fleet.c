#include "review/standin/fleet.h"
#include "review/standin/record.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define DEPLOY_FILE    "deploy/system.toml"
#define START_MS       20000
#define POLL_MS        20
#define READY_INTERVAL 1000
#define READY_MISSES   2
#define READY_TIMEOUT  900
#define END_MS         3000
#define FRONT_PORT     8625
#define READY_PORT     8621
#define CONTROL_PORT   8628
#define PORT_STEP      16
#define LAST_PORT      30000

/* Returns the value of a line KEY = "VALUE" of the deploy file. */
static char *
deploy_value(const char *key)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(DEPLOY_FILE, &text, NULL, NULL))
		return NULL;
	lines = g_strsplit(text, "\n", -1);
	for (size_t i = 0; lines[i] != NULL; i++) {
		g_auto(GStrv) parts = g_strsplit(lines[i], " = ", 2);

		if (g_strv_length(parts) == 2 && strcmp(parts[0], key) == 0)
			return g_strndup(parts[1] + 1, strlen(parts[1]) - 2);
	}
	return NULL;
}

static char *
replace_all(char *text, const char *from, const char *to)
{
	g_auto(GStrv) parts = g_strsplit(text, from, -1);

	g_free(text);
	return g_strjoinv(to, parts);
}

/* Fills the template in as the platform does, with the bounds of a small site.
 */
static char *
settings_of(const struct fleet *f, const struct fleet_host *h)
{
	const char *const values[][2] = {
		{ "{{NodeName}}", h->name },
		{ "{{Listen.Front}}", h->front },
		{ "{{Listen.Ready}}", h->ready },
		{ "{{Listen.Control}}", h->control },
		{ "{{Zone}}", h->zone },
		{ "{{Limits.CpuShare}}", "0.25" },
		{ "{{Limits.LinkMbps}}", "1000.0" },
		{ "{{Bounds.GraceS}}", "8" },
		{ "{{Bounds.DrainMs}}", "2000" },
		{ "{{Bounds.RetryRatio}}", "0.2" },
		{ "{{Bounds.RetrySlack}}", "58" },
		{ "{{Bounds.RetryWindowS}}", "10" },
		{ "{{Platform.Addr}}", f->o.store },
	};
	g_autofree char *template_path = deploy_value("template");
	GString *seeds = g_string_new(NULL);
	char *text = NULL;

	if (template_path == NULL ||
	    !g_file_get_contents(template_path, &text, NULL, NULL)) {
		fprintf(stderr, "can't read the template of the settings\n");
		exit(2);
	}
	for (int i = 0; i < f->o.n && i < 3; i++)
		g_string_append_printf(seeds, " %s", f->hosts[i].control);
	text = replace_all(text, "{{#Seeds}} {{.}}{{/Seeds}}", seeds->str);
	g_string_free(seeds, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(values); i++)
		text = replace_all(text, values[i][0], values[i][1]);
	if (strstr(text, "{{") != NULL) {
		fprintf(stderr, "a field of the template is not known\n");
		exit(2);
	}
	return text;
}

/* Runs the command of the deploy file in the new process. */
static void
exec_host(char **argv, const char *conf, const char *log)
{
	g_autofree char *boot = g_strdup_printf("SEQUOIACOURSE_BOOT=%s", conf);
	char *env[] = { boot, NULL };
	int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

	if (argv[0] == NULL)
		_exit(127);
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	execve(argv[0], argv, env);
	_exit(127);
}

void
fleet_start_host(struct fleet *f, int i)
{
	struct fleet_host *h = &f->hosts[i];
	g_autofree char *conf =
	    g_strdup_printf("%s/%s.conf", f->o.dir, h->name);
	g_autofree char *log = g_strdup_printf("%s/%s.log", f->o.dir, h->name);
	g_autofree char *text = settings_of(f, h);
	g_autofree char *run = deploy_value("run");
	g_auto(GStrv) argv = g_strsplit(run != NULL ? run : "", " ", -1);
	pid_t pid;

	g_file_set_contents(conf, text, -1, NULL);
	for (size_t k = 0; argv[k] != NULL; k++) {
		if (strcmp(argv[k], "/etc/sequoiacourse/settings.conf") == 0) {
			g_free(argv[k]);
			argv[k] = g_strdup(conf);
		}
	}
	record("host %s starts", h->name);
	pid = fork();
	if (pid == 0)
		exec_host(argv, conf, log);
	h->pid = pid;
}

void
fleet_stop_host(struct fleet *f, int i)
{
	struct fleet_host *h = &f->hosts[i];

	h->back_at = 0;
	h->term_at = record_now();
	record("host %s gets SIGTERM", h->name);
	kill(h->pid, SIGTERM);
}

int
fleet_wait_host(struct fleet *f, int i, int64_t until)
{
	struct fleet_host *h = &f->hosts[i];
	int status = 0;

	do {
		if (waitpid(h->pid, &status, WNOHANG) == h->pid) {
			record("host %s has ended, %s %d", h->name,
			    WIFEXITED(status) ? "status" : "signal",
			    WIFEXITED(status) ? WEXITSTATUS(status)
					      : WTERMSIG(status));
			h->pid = 0;
			return status;
		}
		if (record_now() < until)
			sleep_ms(POLL_MS);
	} while (record_now() < until);
	return -1;
}

static bool
is_ready(const struct fleet_host *h)
{
	g_autofree char *text = g_strdup_printf(
	    "GET /api/readyz HTTP/1.1\r\nHost: %s\r\n\r\n", h->ready);
	struct wire w;
	struct message m = { 0 };
	bool ready;
	int fd = wire_connect(h->ready);

	if (fd < 0)
		return false;
	wire_init(&w, fd);
	ready = wire_write(&w, text, strlen(text)) &&
	    wire_read(&w, record_now() + READY_TIMEOUT, &m) &&
	    strncmp(m.first, "HTTP/1.1 200", 12) == 0;
	message_free(&m);
	wire_close(&w, false);
	return ready;
}

static void
ask_host(struct fleet_host *h)
{
	bool ready = is_ready(h);
	bool before = h->in_rotation;

	h->misses = ready ? 0 : h->misses + 1;
	if (ready)
		h->in_rotation = true;
	else if (h->misses >= READY_MISSES)
		h->in_rotation = false;
	if (ready && h->term_at != 0 && h->back_at == 0 && h->misses == 0 &&
	    !before)
		h->back_at = record_now();
	if (before != h->in_rotation)
		record("balancer: host %s is %s rotation", h->name,
		    h->in_rotation ? "in" : "out of");
}

static void *
run_balancer(void *arg)
{
	struct fleet *f = arg;

	while (!f->stopping) {
		for (int i = 0; i < f->o.n; i++)
			ask_host(&f->hosts[i]);
		sleep_ms(READY_INTERVAL);
	}
	return NULL;
}

int
fleet_choose(const struct fleet *f, unsigned seed)
{
	int in[FLEET_MAX];
	int n = 0;

	for (int i = 0; i < f->o.n; i++) {
		if (f->hosts[i].in_rotation)
			in[n++] = i;
	}
	/* With less than half of its hosts in rotation all are used. */
	if (n == 0 || 2 * n < f->o.n)
		return (int)(seed % (unsigned)f->o.n);
	return in[seed % (unsigned)n];
}

/*
 * Returns the first free port of the IP from a port on, in steps that keep the
 * ports of a host apart.  They lie below those that outgoing connections get.
 */
static uint16_t
free_port(const char *ip, uint16_t first)
{
	for (uint16_t port = first; port < LAST_PORT; port += PORT_STEP) {
		uint16_t p = port;
		int fd = wire_listen(ip, &p);

		if (fd >= 0) {
			close(fd);
			return port;
		}
	}
	return first;
}

bool
fleet_start(struct fleet *f, const struct fleet_opts *o)
{
	int64_t until = record_now() + START_MS;

	*f = (struct fleet){ .o = *o };
	for (int i = 0; i < o->n; i++) {
		struct fleet_host *h = &f->hosts[i];

		snprintf(h->name, sizeof(h->name), "front-%d", i + 1);
		snprintf(h->zone, sizeof(h->zone), "zone-a");
		snprintf(h->ip, sizeof(h->ip), "%s%d", o->ip, i + 1);
		snprintf(h->front, sizeof(h->front), "%s:%u", h->ip,
		    free_port(h->ip, FRONT_PORT));
		snprintf(h->ready, sizeof(h->ready), "%s:%u", h->ip,
		    free_port(h->ip, READY_PORT));
		snprintf(h->control, sizeof(h->control), "%s:%u", h->ip,
		    free_port(h->ip, CONTROL_PORT));
	}
	for (int i = 0; i < o->n; i++)
		fleet_start_host(f, i);
	for (int i = 0; i < o->n; i++) {
		while (!is_ready(&f->hosts[i])) {
			if (record_now() > until)
				return false;
			sleep_ms(POLL_MS);
		}
		f->hosts[i].in_rotation = true;
	}
	pthread_create(&f->balancer, NULL, run_balancer, f);
	return true;
}

void
fleet_end(struct fleet *f)
{
	f->stopping = true;
	pthread_join(f->balancer, NULL);
	for (int i = 0; i < f->o.n; i++) {
		if (f->hosts[i].pid != 0)
			kill(f->hosts[i].pid, SIGKILL);
	}
	for (int i = 0; i < f->o.n; i++) {
		if (f->hosts[i].pid != 0)
			fleet_wait_host(f, i, record_now() + END_MS);
	}
}
