#include "Ctl/Commands.h"
#include "Ctl/HttpOperatorLink.h"

#include <iostream>

int main(int argc, char** argv)
{
    using namespace trefoilwing;
    const Commands commands([](const Endpoint& endpoint) -> std::unique_ptr<OperatorLink> {
        return std::make_unique<HttpOperatorLink>(endpoint);
    });
    Console console { std::cout, std::cerr };
    return static_cast<int>(commands.run({ argv + 1, argv + argc }, console));
}
