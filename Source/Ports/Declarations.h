#pragma once

#include "Model/Declaration.h"

#include <memory>

namespace trefoilwing {

/// Gives the declarations in force to those who check and route requests.
class Declarations {
public:
    virtual ~Declarations() = default;

    /// @return whether any configuration is in force here yet.
    virtual bool hasConfiguration() const = 0;

    /// @return the service's declaration, or null if there is none in force.
    virtual std::shared_ptr<const ServiceDeclaration> find(const ServiceId&) const = 0;
};

} // namespace trefoilwing
