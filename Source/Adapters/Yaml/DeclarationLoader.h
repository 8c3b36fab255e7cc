#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"

#include <set>
#include <string>
#include <vector>

namespace trefoilwing {

/// Reads the declaration of one service.
/// @return the declaration, or an error that lists every fault with file, line, key and cure.
Result<ServiceDeclaration> loadDeclaration(const std::string& path);

/// Parses a declaration from a text in YAML or its subset JSON.
/// @param file the file name used in errors.
Result<ServiceDeclaration> parseDeclaration(const std::string& text, const std::string& file);

/// Reads each *.yaml file of a folder as one declaration, sorted by file name.
/// @return the declarations, or an error that lists the faults of all files, including services declared in two files.
Result<std::vector<ServiceDeclaration>> loadDeclarations(const std::string& folder);

/// Reads the given files in the same way.
Result<std::vector<ServiceDeclaration>> loadDeclarationFiles(const std::vector<std::string>& files);

/// Checks that the homes in a file that loadDeclaration() accepts are known data centres.
/// @param dataCentres the data centres in the daemons' settings.
Result<Done> checkHomes(const std::string& path, const std::set<DataCentreId>& dataCentres);

} // namespace trefoilwing
