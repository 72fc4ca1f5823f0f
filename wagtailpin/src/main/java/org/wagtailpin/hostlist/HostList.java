package org.wagtailpin.hostlist;

import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts. It lags: a host can be on it for a while after it went. */
public interface HostList {

  /** Reads the list. The future never completes exceptionally. */
  CompletableFuture<HostListResult> list();
}
