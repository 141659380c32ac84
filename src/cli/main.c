#include <stdio.h>

int
main(void)
{
	puts("bulrushpost " BP_VERSION);
	return 0;
}
