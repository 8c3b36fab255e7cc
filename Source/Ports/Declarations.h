#pragma once

#include "Model/Declaration.h"

#include <memory>

namespace trefoilwing {

/// Provides the declarations in force to the code that validates and routes requests.
class Declarations {
public:
    virtual ~Declarations() = default;

    /// @return whether this daemon has a configuration yet.
    virtual bool hasConfiguration() const = 0;

    /// @return the declaration of the service that is in force, or null if there is none.
    virtual std::shared_ptr<const ServiceDeclaration> find(const ServiceId&) const = 0;
};

} // namespace trefoilwing
