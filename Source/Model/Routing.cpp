#include "Model/Routing.h"

namespace trefoilwing {

const Route* RoutingTable::find(std::string_view host, std::string_view path) const
{
    const Route* best = nullptr;
    for (const Route& route : routes) {
        const bool isMatch = route.host == host && path.substr(0, route.pathPrefix.size()) == route.pathPrefix;
        if (isMatch && (!best || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    }
    return best;
}

} // namespace trefoilwing
