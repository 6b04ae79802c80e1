/** @file toml-shim.cc Conversion of TOML to JSON by libtomlplusplus. */
#include "toml-shim.h"

#include <cstdio>
#include <cstring>
#include <sstream>
#include <string>
#include <toml++/toml.h>

extern "C" char *toml_shim_to_json(const char *text, char *problem, unsigned long size)
{
	try {
		std::ostringstream out;
		out << toml::json_formatter{toml::parse(std::string_view(text))};
		return strdup(out.str().c_str());
	} catch (const toml::parse_error &e) {
		snprintf(problem, size, "line %u: %s", e.source().begin.line,
			 std::string(e.description()).c_str());
	} catch (const std::exception &e) {
		snprintf(problem, size, "%s", e.what());
	}
	return nullptr;
}
