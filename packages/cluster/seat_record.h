/// Defines what the store holds for each seat of a data centre.
#ifndef CROCUSWIND_CLUSTER_SEAT_RECORD_H
#define CROCUSWIND_CLUSTER_SEAT_RECORD_H

#include "base/base.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// The value of `seat/<data centre>/<index>`, which is bound to the holder's lease, and of
/// `seat/<data centre>/<index>/last`, which outlives it and names the last holder.
struct seat_record
{
    host_id host;
    incarnation incarnationNumber = 0;
    int seats = 1; ///< Number of seats that the holder splits the runners by.
    bool isReleased = false; ///< The last holder had drained, and no request of it runs any more.
};

/// Returns the key that a holder claims.
std::string seatKey(const data_centre_id &dataCentre, int seat);

/// Returns the key that names the last holder.
std::string lastHolderKey(const data_centre_id &dataCentre, int seat);

/// Returns the prefix of all these keys of a data centre.
std::string seatPrefix(const data_centre_id &dataCentre);

/// Encodes a record as JSON.
std::string encodeSeat(const seat_record &record);

/// Decodes a record. Returns nothing for any other text.
std::optional<seat_record> decodeSeat(const std::string &text);

/// What was read of one seat.
struct seat_entry
{
    int seat = 0;
    std::optional<seat_record> holder; ///< Nothing if the seat is free.
    std::int64_t epoch = 0; ///< Create revision of the holder's key.
    std::int64_t lease = 0;
    std::optional<seat_record> last;
    std::int64_t lastModRevision = 0; ///< 0 if nobody ever held the seat.
};

/// Arranges what a read of `seatPrefix` returned: one entry for each seat below \p seats. A value
/// that cannot be read counts as one of an unknown host, so that its seat is not taken for free.
std::vector<seat_entry> seatEntries(const data_centre_id &dataCentre, int seats,
                                    const std::vector<store_entry> &entries);

} // namespace crocuswind

#endif
