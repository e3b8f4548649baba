#ifndef BERGAMOT_CONFIG_FIXTURES_H
#define BERGAMOT_CONFIG_FIXTURES_H

#include "libbergamotconfig/change.h"
#include "libbergamotconfig/configuration.h"
#include "libbergamotconfig/configurationindex.h"
#include "libbergamotconfig/logrecord.h"
#include "libbergamotconfig/signer.h"

#include <string>

namespace bergamot::config {

inline Signer testSigner(char fill = 'a') {
  return Signer(std::string(32, fill));
}

/// A valid configuration: one model and one plain service in two domains.
inline Configuration testConfiguration() {
  Configuration c;
  c.Signers = {{{"mika"}, testSigner().publicKey()}};
  c.Accounts = {{{"rope-shop"},
                 2,
                 1,
                 {hashApiKey("saltsalt", "rope-shop.secret")},
                 20,
                 8}};
  c.FailureDomains = {{{"d1"}, "east"}, {{"d2"}, "east"}};
  Service chat{{"chat"}, ServiceKind::Model, {"m1", "m2"}};
  chat.Limits = {8, 100'000, 2, std::chrono::milliseconds(1800), 65536, 512};
  Service orders{{"orders"}, ServiceKind::Plain};
  orders.RepeatRules = {{"*", "/quotes", true},
                        {"GET", "/reports", false},
                        {"POST", "/quotes/book", false}};
  orders.Limits = {16, 1U << 24, 4, std::chrono::milliseconds(900), 65536, 0};
  c.Services = {chat, orders};
  c.Entries = {{{"vm-e1"}, {"d1"}, "127.0.0.1:7000"}};
  c.Targets = {{{"t1"}, {"vm-1"}, {"chat"}, {"d1"}, "127.0.0.1:7001"},
               {{"t2"}, {"vm-2"}, {"chat"}, {"d2"}, "127.0.0.1:7002"},
               {{"t3"}, {"vm-3"}, {"orders"}, {"d2"}, "127.0.0.1:7003"}};
  c.ExpertGroups = {{{"g"}, {"chat"}, {{"t1"}, {"t2"}}, 2, 4, 3, 1000}};
  return c;
}

inline Change signedChange(const std::string &id, std::uint64_t base,
                           const Signer &signer = testSigner()) {
  Change change{id, {base}, "mika", {"mika"}};
  setSignature(change, signer);
  return change;
}

inline Change wholeChange(const std::string &id, std::uint64_t base,
                          const Configuration &whole,
                          const Signer &signer = testSigner()) {
  Change change = signedChange(id, base);
  change.Whole = whole;
  setSignature(change, signer);
  return change;
}

inline Change deltaChange(const std::string &id, std::uint64_t base,
                          const ConfigDelta &delta,
                          const Signer &signer = testSigner()) {
  Change change = signedChange(id, base);
  change.Delta = delta;
  setSignature(change, signer);
  return change;
}

inline LogRecord recordAt(std::uint64_t offset, const std::string &text) {
  return {{offset},
          base::fromUnixMilliseconds(static_cast<std::int64_t>(offset) * 1000),
          text};
}

} // namespace bergamot::config

#endif
