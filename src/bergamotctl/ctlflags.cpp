#include "bergamotctl/ctlflags.h"

#include <gflags/gflags.h>

#include <sstream>

DEFINE_string(log, "", "IP address and port of the platform's log");
DEFINE_string(key_file, "", "file with the Ed25519 private key of the signer");
DEFINE_string(signer, "", "id of the signer, as the configuration names it");
DEFINE_string(author, "", "who made the change, for the audit");
DEFINE_int64(base, -1, "version that the document was made from; 0: first");
DEFINE_string(change_id, "",
              "id of an undecided change to publish again; default: a new one");
DEFINE_string(
    account, "",
    "account of a new API key, to search for, or of the request to explain");
DEFINE_string(daemons, "",
              "IP addresses and ports of daemons' HTTP servers, "
              "separated by commas");
DEFINE_string(checkpoint, "",
              "file with the state in which audit verify continues");
DEFINE_string(request, "", "request id to search for");
DEFINE_string(key_hash, "", "hash of an idempotency key to search for");
DEFINE_int64(config_version, -1, "configuration version to search for");
DEFINE_string(from_time, "",
              "search from this second on, such as 2026-01-31T23:59:00Z");
DEFINE_string(to_time, "", "search up to and including this second");
DEFINE_string(entry, "", "IP address and peer port of the entry to ask");
DEFINE_string(host, "", "host of the request to explain");
DEFINE_string(path, "", "path of the request to explain");
DEFINE_string(service, "",
              "service to explain; default: the route's one with most weight");
DEFINE_bool(json, false, "print the entry's JSON report");
DEFINE_int64(timeout_ms, 10000, "time after which a command gives up");

namespace bergamot::bergamotctl {

std::vector<FlagHelp> flagHelp() {
  std::vector<gflags::CommandLineFlagInfo> all;
  gflags::GetAllFlags(&all);
  std::vector<FlagHelp> own;
  for (const auto &info : all)
    if (info.filename.ends_with("bergamotctl/ctlflags.cpp"))
      own.push_back({info.name, info.default_value, info.description});
  return own;
}

Options parsedOptions() {
  Options options;
  options.KeyFile = FLAGS_key_file;
  options.Signer = FLAGS_signer;
  options.Author = FLAGS_author;
  options.Account = FLAGS_account;
  options.ChangeId = FLAGS_change_id;
  options.Base = FLAGS_base;
  options.Checkpoint = FLAGS_checkpoint;
  options.Request = FLAGS_request;
  options.KeyHash = FLAGS_key_hash;
  options.ConfigVersion = FLAGS_config_version;
  options.FromTime = FLAGS_from_time;
  options.ToTime = FLAGS_to_time;
  options.Entry = FLAGS_entry;
  options.Host = FLAGS_host;
  options.Path = FLAGS_path;
  options.Service = FLAGS_service;
  options.Json = FLAGS_json;
  options.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  std::istringstream daemons(FLAGS_daemons);
  for (std::string daemon; std::getline(daemons, daemon, ',');)
    options.Daemons.push_back(daemon);
  return options;
}

std::string logEndpoint() { return FLAGS_log; }

} // namespace bergamot::bergamotctl
