#ifndef BERGAMOT_ADAPTERPLATFORM_VMLIST_H
#define BERGAMOT_ADAPTERPLATFORM_VMLIST_H

#include "adapterhttp/httpclient.h"
#include "libbergamotbase/ids.h"
#include "libbergamotbase/timetypes.h"

#include <concepts>
#include <string>
#include <vector>

namespace bergamot::adapterplatform {

/// A VM as the platform lists it.
struct ListedVm {
  base::VmId Id;
  std::string Address;
  base::FailureDomainId FailureDomain;
  bool Leaving = false;
};

/// The platform's list of VMs. It lags behind the truth; Time is when it was
/// valid, by the platform's clock.
struct VmListing {
  std::vector<ListedVm> Vms;
  base::WallTime Time;
};

/// Access to the VM list. Throws base::Error.
template <typename T>
concept VmListPort = requires(T &list, base::TimePoint deadline) {
  { list.read(deadline) } -> std::same_as<VmListing>;
};

/// The VM list over HTTP and JSON. Safe to use from several threads.
class HttpVmList {
public:
  /// The endpoint is an IP address with a port.
  explicit HttpVmList(const std::string &endpoint) : Client(endpoint) {}

  /// Returns the present list. Throws base::Error.
  VmListing read(base::TimePoint deadline);

private:
  adapterhttp::HttpClient Client;
};

static_assert(VmListPort<HttpVmList>);

} // namespace bergamot::adapterplatform

#endif
