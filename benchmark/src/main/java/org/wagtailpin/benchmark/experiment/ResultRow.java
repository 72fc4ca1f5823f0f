package org.wagtailpin.benchmark.experiment;

import java.util.Map;

/**
 * Results of one version in one phase, over all seeds.
 *
 * @param phase name of the phase
 * @param version name of the version
 * @param offered number of calls offered
 * @param shortP50Millis the median latency of short work at the entry, in milliseconds
 * @param shortP99Millis its 99th percentile
 * @param shortP999Millis its 99.9th percentile
 * @param longP50Millis the median latency of long work
 * @param longP99Millis its 99th percentile
 * @param patientP99Millis the 99th percentile of work that may wait
 * @param callerShortP99Millis the 99th percentile of short work at the caller
 * @param inTimeShare share of offered calls answered completely before their deadline
 * @param inTimePerSecond rate of these calls, per second
 * @param refusedShare share of offered calls that were refused as not run
 * @param failedShare share of offered calls answered with a server error
 * @param retryShare number of retries, as a share of the offered calls
 * @param repeated number of answered calls that ran more than once although they must not be
 *     repeated
 * @param untrueRefusals number of calls refused as not run although a server ran them
 * @param probesPerSecond probes sent per second
 * @param probeShare number of probes sent, as a share of the offered calls
 * @param crossRegionBytesPerSecond bytes transferred between regions per second
 * @param spread coefficient of variation (standard deviation over mean) of the number of calls run
 *     by each server of a service, over whole runs
 * @param shortP99ByService the 99th percentile of short work at the entry, by service, in
 *     milliseconds
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
