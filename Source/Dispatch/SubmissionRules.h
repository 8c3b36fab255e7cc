#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"
#include "Model/Submission.h"

#include <absl/time/time.h>

namespace trefoilwing {

/// Checks a submission's content against the service's declaration; the deadline is another matter,
/// since a late resubmission may belong to a job that ran.
///
/// @param declaration null where the service is unknown.
/// @return an error with the verdict NotRun that names what is wrong, and the cure.
Result<Done> checkSubmission(const ServiceDeclaration* declaration, const Submission&);

/// Gives a submission without a deadline the service's default one.
void applyDefaultDeadline(const ServiceDeclaration* declaration, Submission&, absl::Time now);

/// @return the backer's part of the service, or null.
const BackerDeclaration* findBacker(const ServiceDeclaration&, const BackerId&);

/// @return the kind's part of the service, or null.
const TaskKindDeclaration* findKind(const ServiceDeclaration&, const TaskKindId&);

/// @return the error of a submission whose id was taken with other content.
Error conflictError();

/// @return a digest of all that a resubmission must repeat: tasks and idempotency, not the deadline.
Digest digestOf(const Submission&);

} // namespace trefoilwing
