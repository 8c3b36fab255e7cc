# Functions shared by the scripts in this folder: install the packages, configure and build.

packages=(
    ccache clang clang-format clang-tidy cmake g++ libabsl-dev libboost-dev libcpp-httplib-dev
    libcpputest-dev libgoogle-glog-dev libmsgpack-cxx-dev librapidcheck-dev libssl-dev
    libxxhash-dev libyaml-cpp-dev libbenchmark-dev ninja-build nlohmann-json3-dev pkg-config
)

install_packages() {
    local missing=()
    for package in "${packages[@]}"; do
        dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
    done
    if [ "${#missing[@]}" -gt 0 ]; then
        apt-get update -qq
        DEBIAN_FRONTEND=noninteractive apt-get install -y -qq "${missing[@]}" >/dev/null
    fi
}

# usage: build_tree FOLDER CMAKE_OPTION...
build_tree() {
    local folder=$1
    shift
    install_packages
    # The compiler cache uses relative paths, so that several checkouts can share it.
    export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
    mkdir -p "$folder"
    cmake -S . -B "$folder" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >"$folder/configure.log" 2>&1 \
        || { cat "$folder/configure.log" >&2; return 1; }
    cmake --build "$folder" -j "${TREFOILWING_JOBS:-10}"
}
