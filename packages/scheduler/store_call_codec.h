/// Encodes the calls to the store that one host makes for another, and their results. Open it to
/// learn what passes between an owner that the store refuses and the host that helps it.
#ifndef CROCUSWIND_SCHEDULER_STORE_CALL_CODEC_H
#define CROCUSWIND_SCHEDULER_STORE_CALL_CODEC_H

#include "base/base.h"
#include "owner_election.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocuswind::scheduler {

/// Asks for a watch of all keys with a prefix.
struct store_watch_request
{
    std::string prefix;
    std::int64_t maxSilenceMs = 0; ///< Without a change, an update comes this often.
};

/// Ends the watch whose request had this number.
struct store_watch_end
{
    std::uint64_t number = 0;
};

/// Has no effect but its number, by which later updates of watches tell how recent they are.
struct store_watch_probe
{ };

/// A call that another host is to make. Of a transaction, the comparisons of revisions are sent.
struct helped_store_call
{
    std::uint64_t number = 0; ///< Rises with each call, and is returned with the result.
    std::int64_t timeLeftMs = 0; ///< For an operation: until it must not be sent any more.
    std::variant<store_operation, store_watch_request, store_watch_end, store_watch_probe> what;
};

/// The result of an operation.
struct helped_store_result
{
    std::uint64_t number = 0;
    store_result result = tl::unexpected(store_error::no_answer);
};

/// An update of a watch.
struct helped_watch_update
{
    enum class kind { started, changed, unchanged, lost };

    /// A key that was changed, or deleted.
    struct change
    {
        bool isDeleted = false;
        store_entry entry; ///< For a deletion, only `key` and `modRevision` are set.
    };

    std::uint64_t number = 0; ///< Of the request for the watch.
    kind what = kind::lost;
    std::int64_t revision = 0;
    std::vector<change> changes;
    /// The watch has reported every change that the store accepted before the call with this number
    /// had arrived at the helping host; 0 if none is known to have. Hosts share no clock.
    std::uint64_t asOfCall = 0;
};

/// What a helping host answers.
using store_help = std::variant<helped_store_result, helped_watch_update>;

std::string encodeStoreCall(const helped_store_call &call);
std::string encodeStoreHelp(const store_help &help);
std::string encodeOwnerNews(const owner_info &owner);

/// Decode the messages. Return std::nullopt for malformed input.
std::optional<helped_store_call> decodeStoreCall(std::string_view bytes);
std::optional<store_help> decodeStoreHelp(std::string_view bytes);
std::optional<owner_info> decodeOwnerNews(std::string_view bytes);

} // namespace crocuswind::scheduler

#endif
