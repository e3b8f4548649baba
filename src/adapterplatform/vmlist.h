#ifndef BERGAMOT_ADAPTERPLATFORM_VMLIST_H
#define BERGAMOT_ADAPTERPLATFORM_VMLIST_H

#include "adapterhttp/httpclient.h"
#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <concepts>
#include <string>
#include <vector>

namespace bergamot::adapterplatform {

/// An entry of the platform's VM list.
struct ListedVm {
  base::VmId Id;
  std::string Address;
  base::FailureDomainId FailureDomain;
  bool Leaving = false;
};

/// The platform's list of VMs, which may be out of date. Time is when it was
/// valid, by the platform's clock.
struct VmListing {
  std::vector<ListedVm> Vms;
  base::WallTime Time;
};

/// Requirements on a client of the VM list. Functions throw base::Error.
template <typename T>
concept VmListApi = requires(T &list, base::TimePoint deadline) {
  { list.read(deadline) } -> std::same_as<VmListing>;
};

/// Client of the VM list over HTTP and JSON. Thread-safe.
class HttpVmList {
public:
  /// The endpoint is an IP address with a port.
  explicit HttpVmList(const std::string &endpoint) : Client(endpoint) {}

  /// Requests the current list. Throws base::Error.
  VmListing read(base::TimePoint deadline);

private:
  adapterhttp::HttpClient Client;
};

static_assert(VmListApi<HttpVmList>);

} // namespace bergamot::adapterplatform

#endif
