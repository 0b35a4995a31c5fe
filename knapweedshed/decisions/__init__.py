"""Pure decision logic: no actors, sockets, codecs, clocks, threads or logging."""
