#include "decisions.h"

#include <stdio.h>

#define WIDTH 1100
#define HEIGHT 420
#define LEFT 70
#define RIGHT 20
#define TOP 60
#define BOTTOM 60

static const char *const colors[] = {"#1b6ca8", "#7fb3d5", "#b0b0b0", "#d0a060",
    "#a0c080", "#c08080", "#9080b0", "#303030"};

static double
highest(const plot_t *plot)
{
	double top = 0;
	size_t i;

	for (i = 0; i < plot->n_groups * plot->n_series; i++)
		top = MAX(top, plot->mean[i] + plot->sd[i]);
	return top > 0 ? top * 1.05 : 1;
}

static double
y_of(double value, double top)
{
	return HEIGHT - BOTTOM - value / top * (HEIGHT - TOP - BOTTOM);
}

static void
write_axes(FILE *out, const plot_t *plot, double top)
{
	int i;

	for (i = 0; i <= 4; i++) {
		double value = top * i / 4;

		fprintf(out,
		    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" "
		    "stroke=\"#ddd\"/><text x=\"%d\" y=\"%.1f\" "
		    "text-anchor=\"end\">%.3g</text>\n",
		    LEFT, WIDTH - RIGHT, y_of(value, top), y_of(value, top),
		    LEFT - 6, y_of(value, top) + 4, value);
	}
	fprintf(out,
	    "<text x=\"%d\" y=\"18\" font-size=\"15\">%s (%s)</text>\n"
	    "<text x=\"%d\" y=\"%d\" fill=\"#666\">%s; bars: mean, lines: "
	    "standard deviation over seeds</text>\n",
	    LEFT, plot->title, plot->unit, LEFT, HEIGHT - 8, plot->command);
}

static void
write_legend(FILE *out, const plot_t *plot)
{
	size_t i;

	for (i = 0; i < plot->n_series; i++) {
		int x = LEFT + (int)i * 125;

		fprintf(out,
		    "<rect x=\"%d\" y=\"30\" width=\"12\" height=\"12\" "
		    "fill=\"%s\"/><text x=\"%d\" y=\"40\">%s</text>\n",
		    x, colors[i], x + 16, plot->series[i]);
	}
}

static void
write_group(FILE *out, const plot_t *plot, size_t group, double top)
{
	double width = (double)(WIDTH - LEFT - RIGHT) / (double)plot->n_groups;
	double x0 = LEFT + width * (double)group + width * 0.08;
	double bar = width * 0.84 / (double)plot->n_series;
	size_t i;

	for (i = 0; i < plot->n_series; i++) {
		double mean = plot->mean[group * plot->n_series + i];
		double sd = plot->sd[group * plot->n_series + i];
		double x = x0 + bar * (double)i;

		fprintf(out,
		    "<rect x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" "
		    "height=\"%.1f\" fill=\"%s\"/>"
		    "<line x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\" "
		    "stroke=\"#000\"/>\n",
		    x, y_of(mean, top), bar * 0.9,
		    y_of(0, top) - y_of(mean, top), colors[i], x + bar * 0.45,
		    x + bar * 0.45, y_of(mean + sd, top),
		    y_of(MAX(mean - sd, 0), top));
	}
	fprintf(out,
	    "<text x=\"%.1f\" y=\"%d\" text-anchor=\"middle\">%s</text>\n",
	    x0 + width * 0.42, HEIGHT - BOTTOM + 18, plot->groups[group]);
}

/* Writes a plot as SVG. Returns 0, or -1 when the file cannot be written. */
int
plot_write(const plot_t *plot, const char *path)
{
	double top = highest(plot);
	FILE *out = fopen(path, "w");
	size_t i;

	if (out == NULL)
		return -1;
	fprintf(out,
	    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
	    "height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n"
	    "<rect width=\"100%%\" height=\"100%%\" fill=\"#fff\"/>\n",
	    WIDTH, HEIGHT);
	write_axes(out, plot, top);
	write_legend(out, plot);
	for (i = 0; i < plot->n_groups; i++)
		write_group(out, plot, i, top);
	fprintf(out, "</svg>\n");
	return fclose(out) == 0 ? 0 : -1;
}
