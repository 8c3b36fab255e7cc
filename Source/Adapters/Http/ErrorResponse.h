#pragma once

#include "Adapters/Http/HttpServer.h"
#include "Base/Error.h"

namespace trefoilwing {

/// @return the response for an error: the HTTP status, and a body with its code, message and verdict.
HttpResponse errorResponse(const Error&);

} // namespace trefoilwing
