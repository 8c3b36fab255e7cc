#pragma once

#include "Adapters/Http/HttpServer.h"
#include "Base/Error.h"

namespace trefoilwing {

/// @return the answer that carries an error: its HTTP status, code, sentence and verdict.
HttpResponse errorResponse(const Error&);

} // namespace trefoilwing
