#include <stdio.h>
#include <string.h>

int bp_bench_decisions(int argc, char **argv);
int bp_bench_capacity(int argc, char **argv);
int bp_bench_progress(int argc, char **argv);
int bp_bench_largetasks(int argc, char **argv);
/* Weak until the benchmark of the balancer is part of the tree. */
int bp_bench_balancer(int argc, char **argv) __attribute__((weak));

int
main(int argc, char **argv)
{
	if (argc >= 2 && strcmp(argv[1], "decisions") == 0)
		return bp_bench_decisions(argc - 1, argv + 1);
	if (argc >= 2 && strcmp(argv[1], "capacity") == 0)
		return bp_bench_capacity(argc - 1, argv + 1);
	if (argc >= 2 && strcmp(argv[1], "progress") == 0)
		return bp_bench_progress(argc - 1, argv + 1);
	if (argc >= 2 && strcmp(argv[1], "largetasks") == 0)
		return bp_bench_largetasks(argc - 1, argv + 1);
	if (argc >= 2 && strcmp(argv[1], "balancer") == 0 &&
	    bp_bench_balancer != NULL)
		return bp_bench_balancer(argc - 1, argv + 1);
	fprintf(stderr,
	    "usage: bench decisions|balancer|capacity|progress|largetasks "
	    "[options]\n");
	return 2;
}
