#ifndef BERGAMOT_BERGAMOTD_REFUSALMESSAGE_H
#define BERGAMOT_BERGAMOTD_REFUSALMESSAGE_H

#include "libbergamotrouting/targetadmission.h"
#include "libbergamotwire/framecodec.h"

namespace bergamot::bergamotd {

/// Returns the message that tells an entry that its attempt was not admitted:
/// Refused if it was proven not to be executed, else Failed.
wire::Envelope refusalMessage(const routing::AdmissionVerdict &verdict);

} // namespace bergamot::bergamotd

#endif
