#include "adapterplatform/vmlist.h"

#include "libbergamotbase/error.h"

#include <nlohmann/json.hpp>

namespace bergamot::adapterplatform {

using base::Error;
using base::Step;

namespace {

ListedVm toVm(const nlohmann::json &json) {
  ListedVm vm;
  vm.Id.Value = json.at("id").get<std::string>();
  vm.Address = json.at("address").get<std::string>();
  vm.FailureDomain.Value = json.at("failure_domain").get<std::string>();
  // A state that isn't known counts as leaving, so that the VM gets no new
  // work.
  vm.Leaving = json.at("state").get<std::string>() != "live";
  return vm;
}

} // namespace

VmListing HttpVmList::read(base::TimePoint deadline) {
  const std::string &peer = Client.endpoint();
  const auto response = Client.request("GET", "/v1/vms", {}, {}, deadline);
  if (response.Status != 200)
    throw Error(Step::Membership, peer,
                "the VM list answered with status " +
                    std::to_string(response.Status));
  try {
    const auto json = nlohmann::json::parse(response.Body);
    VmListing listing;
    for (const auto &it : json.at("vms"))
      listing.Vms.push_back(toVm(it));
    // A platform that doesn't state a time vouches for the present.
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
