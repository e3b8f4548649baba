#include "adapterplatform/vmlist.h"

#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

namespace bergamot::adapterplatform {

using base::Error;
using base::Step;

namespace {

ListedVm parseVm(const nlohmann::json &json) {
  ListedVm vm;
  vm.Id.Value = json.at("id").get<std::string>();
  vm.Address = json.at("address").get<std::string>();
  vm.FailureDomain.Value = json.at("failure_domain").get<std::string>();
  // VMs with an unknown state are treated as leaving, so that they get no new
  // requests.
  vm.Leaving = json.at("state").get<std::string>() != "live";
  return vm;
}

} // namespace

VmListing HttpVmList::read(base::TimePoint deadline) {
  const std::string &peer = Client.endpoint();
  const auto response = Client.request("GET", "/v1/vms", {}, {}, deadline);
  if (response.Status != 200)
    throw Error(Step::Membership, peer,
                "the VM list returned status " +
                    std::to_string(response.Status));
  try {
    const auto json = nlohmann::json::parse(response.Body);
    VmListing listing;
    for (const auto &it : json.at("vms"))
      listing.Vms.push_back(parseVm(it));
    // Without a time from the platform, the list is assumed to be current.
    listing.Time =
        json.contains("time_ms")
            ? base::fromUnixMilliseconds(json["time_ms"].get<std::int64_t>())
            : base::wallNow();
    return listing;
  } catch (const nlohmann::json::exception &e) {
    throw Error(Step::Membership, peer, e.what());
  }
}

} // namespace bergamot::adapterplatform
