"""Pure policy: no actors, sockets, codecs, clocks, threads or logs."""
