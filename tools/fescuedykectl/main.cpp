#include "fescuedyke/operator/commands.h"

int main(int argc, char** argv)
{
    return fescuedyke::run_operator_command(argc, argv);
}
