#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"
#include "Model/Submission.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Checks a submission's content against the service's declaration. Doesn't check the deadline, since a
/// late resubmission may belong to a job that ran.
///
/// @param declaration null if the service is unknown.
/// @return an error with the verdict NotRun that names the problem and how to fix it.
Result<Done> checkSubmission(const ServiceDeclaration* declaration, const Submission&);

/// Sets the service's default deadline on a submission without a deadline.
void applyDefaultDeadline(const ServiceDeclaration* declaration, Submission&, absl::Time now);

/// @return the declaration of the backer, or null.
const BackerDeclaration* findBacker(const ServiceDeclaration&, const BackerId&);

/// @return the declaration of the task kind, or null.
const TaskKindDeclaration* findKind(const ServiceDeclaration&, const TaskKindId&);

/// @return the error of a submission whose id is already used with different content.
Error conflictError();

/// @return a digest of the content that a resubmission must match: tasks and idempotency, but not the deadline.
Digest digestOf(const Submission&);

} // namespace trefoilwing
