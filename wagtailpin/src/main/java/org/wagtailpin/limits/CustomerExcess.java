package org.wagtailpin.limits;

/**
 * Why a call exceeds the share of its customer, and when the share has room again at this entry.
 *
 * @param offered the work that the customer asks for, in slots
 * @param share the work that it may have, in slots
 * @param domainSums whether this is known from the sums of the failure domain, not of this entry
 *     alone
 * @param ageMillis the age of the sums, in milliseconds
 * @param waitMillis how long until the share has room again, in milliseconds; infinite if it has
 *     none at this entry
 * @param paceMillis the time between two calls that the share has room for at this entry, in
 *     milliseconds; infinite if it has none
 */
public record CustomerExcess(
    double offered,
    double share,
    boolean domainSums,
    double ageMillis,
    double waitMillis,
    double paceMillis) {}
