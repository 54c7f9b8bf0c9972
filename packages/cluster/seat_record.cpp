#include "seat_record.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace crocuswind {

using nlohmann::json;

std::string seatKey(const data_centre_id &dataCentre, int seat)
{
    return fmt::format("seat/{}/{}", dataCentre.value, seat);
}

std::string lastHolderKey(const data_centre_id &dataCentre, int seat)
{
    return seatKey(dataCentre, seat) + "/last";
}

std::string seatPrefix(const data_centre_id &dataCentre)
{
    return fmt::format("seat/{}/", dataCentre.value);
}

std::string encodeSeat(const seat_record &record)
{
    return json{{"host", record.host.value},
                {"incarnation", record.incarnationNumber},
                {"seats", record.seats},
                {"released", record.isReleased}}
        .dump();
}

std::optional<seat_record> decodeSeat(const std::string &text)
{
    try {
        const json value = json::parse(text);
        return seat_record{host_id{value.at("host").get<std::string>()},
                           value.at("incarnation").get<std::int64_t>(),
                           value.at("seats").get<int>(), value.at("released").get<bool>()};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

std::vector<seat_entry> seatEntries(const data_centre_id &dataCentre, int seats,
                                    const std::vector<store_entry> &entries)
{
    std::vector<seat_entry> result;
    for (int seat = 0; seat < seats; ++seat) {
        seat_entry found;
        found.seat = seat;
        for (const store_entry &e : entries) {
            if (e.key == seatKey(dataCentre, seat)) {
                found.holder = decodeSeat(e.value).value_or(seat_record());
                found.epoch = e.createRevision;
                found.lease = e.lease;
            } else if (e.key == lastHolderKey(dataCentre, seat)) {
                found.last = decodeSeat(e.value).value_or(seat_record());
                found.lastModRevision = e.modRevision;
            }
        }
        result.push_back(std::move(found));
    }
    return result;
}

} // namespace crocuswind
