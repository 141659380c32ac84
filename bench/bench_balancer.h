#ifndef BP_BENCH_BALANCER_H
#define BP_BENCH_BALANCER_H

/* Compares policies of endpoint choice; see docs/decisions/balancing.md. */
int bp_bench_balancer(int argc, char **argv);

#endif
