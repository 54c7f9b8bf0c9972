/// Defines the store entries of the seats of a data centre.
#ifndef CROCUSWIND_CLUSTER_SEAT_RECORD_H
#define CROCUSWIND_CLUSTER_SEAT_RECORD_H

#include "base/base.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuswind {

/// The value of `seat/<data centre>/<index>`, which is bound to the holder's lease, and of
/// `seat/<data centre>/<index>/last`, which remains after the lease has ended and names the last
/// holder.
struct seat_record
{
    host_id host;
    incarnation incarnationNumber = 0;
    int seats = 1; ///< Number of seats among which the holder divides the runners.
    bool isReleased = false; ///< The last holder has drained and none of its requests is running.
};

/// Returns the key of a seat, which its holder creates to claim it.
std::string seatKey(const data_centre_id &dataCentre, int seat);

/// Returns the key of the record of a seat's last holder.
std::string lastHolderKey(const data_centre_id &dataCentre, int seat);

/// Returns the prefix of the keys of all seats of a data centre.
std::string seatPrefix(const data_centre_id &dataCentre);

/// Encodes a record as JSON.
std::string encodeSeat(const seat_record &record);

/// Decodes a record. Returns nothing if the text is not a valid record.
std::optional<seat_record> decodeSeat(const std::string &text);

/// The state of one seat as read from the store.
struct seat_entry
{
    int seat = 0;
    std::optional<seat_record> holder; ///< Empty if the seat is free.
    std::int64_t epoch = 0; ///< Create revision of the holder's key.
    std::int64_t lease = 0;
    std::optional<seat_record> last;
    std::int64_t lastModRevision = 0; ///< 0 if the seat has never been held.
};

/// Converts the result of a read of `seatPrefix` into one entry for each seat below \p seats. A
/// value that cannot be decoded is treated as the record of an unknown host, so that its seat is
/// not considered free.
std::vector<seat_entry> seatEntries(const data_centre_id &dataCentre, int seats,
                                    const std::vector<store_entry> &entries);

} // namespace crocuswind

#endif
