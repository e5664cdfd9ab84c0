// Command rig plays one case of the review: it starts sardinereachd processes with the template of the deploy file, and
// stand-ins of the platform's store, of the targets and of the clients in its own process. The claim.txt of the case says what is
// shown.
//
// Usage:
//
//	rig -case NAME -record FILE [-trouble=false]
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main
