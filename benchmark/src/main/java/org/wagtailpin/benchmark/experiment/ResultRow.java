package org.wagtailpin.benchmark.experiment;

import java.util.Map;

/**
 * What one version showed in one phase.
 *
 * @param phase the phase
 * @param version the version
 * @param offered the calls offered
 * @param shortP50Millis the median latency of short work at the entry, in milliseconds
 * @param shortP99Millis its 99th percentile
 * @param shortP999Millis its 99.9th percentile
 * @param longP50Millis the median latency of long work
 * @param longP99Millis its 99th percentile
 * @param patientP99Millis the 99th percentile of work that may wait
 * @param callerShortP99Millis the 99th percentile of short work at the caller
 * @param inTimeShare the share of offered calls answered whole before their deadline
 * @param inTimePerSecond these calls, a second
 * @param refusedShare the share told that they were not run
 * @param failedShare the share answered by an error of the server
 * @param retryShare the retries, as a share of the calls offered
 * @param repeated work run twice that may not be
 * @param untrueRefusals calls told that they were not run, but that were
 * @param probesPerSecond the probes sent, a second
 * @param probeShare the probes sent, as a share of the calls offered
 * @param crossRegionBytesPerSecond the bytes moved between regions, a second
 * @param spread the standard deviation over the mean of the calls run by a service's servers, over
 *     the whole run
 * @param shortP99ByService the 99th percentile of short work at the entry, by service
 */
record ResultRow(
    String phase,
    String version,
    long offered,
    double shortP50Millis,
    double shortP99Millis,
    double shortP999Millis,
    double longP50Millis,
    double longP99Millis,
    double patientP99Millis,
    double callerShortP99Millis,
    double inTimeShare,
    double inTimePerSecond,
    double refusedShare,
    double failedShare,
    double retryShare,
    long repeated,
    long untrueRefusals,
    double probesPerSecond,
    double probeShare,
    double crossRegionBytesPerSecond,
    Map<String, Double> spread,
    Map<String, Double> shortP99ByService) {}
