// Command review-standins-2 plays the scripts of the second review: it starts lsentry and stand-ins of the platform's store, of
// engines and of callers as the users' pages describe them, causes one disturbance and judges what callers and engines saw.
//
//	review-standins-2 CASE -program FILE -record FILE [-trouble=false]
//	review-standins-2 engine -listen ADDRESS -id ID ...
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main
