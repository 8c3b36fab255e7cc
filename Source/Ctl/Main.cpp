#include "Ctl/Commands.h"
#include "Ctl/HttpCallerLink.h"
#include "Ctl/HttpOperatorLink.h"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace trefoilwing;
    const Commands commands(
        [](const Endpoint& endpoint) { return std::make_unique<HttpOperatorLink>(endpoint); },
        [](const Endpoint& endpoint) { return std::make_unique<HttpCallerLink>(endpoint); });
    Console console { std::cout, std::cerr };
    return static_cast<int>(commands.run({ argv + 1, argv + argc }, console));
}
