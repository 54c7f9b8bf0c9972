#include "command.h"

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <random>

namespace crocuswind {

std::string variableOf(const std::string &flag)
{
    std::string name = "CROCUSWIND_";
    for (const char c : flag.substr(flag.find_first_not_of('-')))
        name += c == '-' ? '_' : char(std::toupper(static_cast<unsigned char>(c)));
    return name;
}

CLI::Option *addSwitch(CLI::App &app, const std::string &flag, bool &value,
                       const std::string &description)
{
    return app.add_flag(flag, value, description)->envname(variableOf(flag));
}

CLI::Option *addEndpoints(CLI::App &app, const std::string &flag,
                          std::vector<std::string> &addresses, const std::string &description)
{
    const auto check = [](std::string &text) {
        const auto endpoint = parseEndpoint(text);
        if (endpoint && endpoint->port != 0)
            return std::string();
        return fmt::format("'{}' is not an address; give a numeric one as IP:PORT", text);
    };
    return addSetting(app, flag, addresses, description)
        ->delimiter(',')
        ->check(CLI::Validator(check, "IP:PORT"));
}

std::vector<ip_endpoint> endpointsOf(const std::vector<std::string> &addresses)
{
    std::vector<ip_endpoint> endpoints;
    for (const std::string &address : addresses) {
        if (const auto endpoint = parseEndpoint(address))
            endpoints.push_back(*endpoint);
    }
    return endpoints;
}

std::string readFile(const std::string &path, std::size_t maxBytes)
{
    std::FILE *file = path == "-" ? stdin : std::fopen(path.c_str(), "rb");
    if (!file)
        throw command_error(exit_status::usage,
                            fmt::format("cannot read '{}': {}", path, std::strerror(errno)));
    std::string text(maxBytes + 1, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), file));
    // Opening a directory succeeds; only the read fails.
    const int error = std::ferror(file) != 0 ? errno : 0;
    if (file != stdin)
        std::fclose(file);
    if (error != 0)
        throw command_error(exit_status::usage,
                            fmt::format("cannot read '{}': {}", path, std::strerror(error)));
    if (text.size() > maxBytes)
        throw command_error(exit_status::usage,
                            fmt::format("'{}' is larger than {} bytes", path, maxBytes));
    return text;
}

std::string randomIdentifier()
{
    std::random_device device;
    std::string text;
    for (int i = 0; i < 4; ++i)
        text += fmt::format("{:08x}", device());
    return text;
}

} // namespace crocuswind
