#include "common/udp.h"

#include <errno.h>
#include <unistd.h>

int
rg_udp_open(const struct rg_addr *addr, int buffer_bytes)
{
    struct sockaddr_storage sa;
    socklen_t len = rg_addr_to_sock(addr, &sa);
    int fd =
        socket(sa.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

    if (fd < 0) {
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
    setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof(buffer_bytes));
    if (bind(fd, (struct sockaddr *)&sa, len) != 0) {
        int saved = errno;
        close(fd);
        errno = saved;
        return -1;
    }
    return fd;
}
