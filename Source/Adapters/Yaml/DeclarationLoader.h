#pragma once

#include "Base/Error.h"
#include "Model/Declaration.h"

#include <set>
#include <string>
#include <vector>

namespace trefoilwing {

/// Reads the declaration of one service.
/// @return the declaration, or an error that holds every fault with file, line, key and cure.
Result<ServiceDeclaration> loadDeclaration(const std::string& path);

/// Does the same for a text, in YAML or in its subset JSON.
/// @param file the name that faults are reported under.
Result<ServiceDeclaration> parseDeclaration(const std::string& text, const std::string& file);

/// Reads every *.yaml file of a folder as one declaration each, in the order of their names.
/// @return the declarations, or an error that holds the faults of all files; a service that two files declare is one.
Result<std::vector<ServiceDeclaration>> loadDeclarations(const std::string& folder);

/// Does the same for the files given.
Result<std::vector<ServiceDeclaration>> loadDeclarationFiles(const std::vector<std::string>& files);

/// Checks the homes in a file that loadDeclaration() accepts.
/// @param dataCentres those that the daemons' settings name.
Result<Done> checkHomes(const std::string& path, const std::set<DataCentreId>& dataCentres);

} // namespace trefoilwing
